"""An admission gateway and load balancer for a service that is sold by plan."""
