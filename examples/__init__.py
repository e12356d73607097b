"""Sample settings of both deployments and a demonstration of them."""
