"""What a job, a worker and a configuration are; touches no socket."""
