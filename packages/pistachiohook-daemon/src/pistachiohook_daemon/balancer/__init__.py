"""The balancer role: forwards datagrams and keeps no state per flow."""
