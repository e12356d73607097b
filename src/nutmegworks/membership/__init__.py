"""Members of the cluster and the detection of failed ones."""
