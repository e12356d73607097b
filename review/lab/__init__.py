"""Stand-ins of clients, executors and the platform's store for the cases.

They follow the users' pages and use only the standard library.
"""
