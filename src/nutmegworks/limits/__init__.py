"""Queues, load shedding, retry budgets and deadlines; does no I/O."""
