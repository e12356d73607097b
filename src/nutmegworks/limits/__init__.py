"""Queues, load shedding, retry budgets and deadlines. No sockets."""
