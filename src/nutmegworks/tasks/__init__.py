"""Data types of the platform daemon: jobs, workers and configuration.

Does no input or output.
"""
