"""Guards against ports that an outgoing connection takes before a program listens."""

from .ports import PORT_MIN, find_free_port, read_port_limit


def test_drawn_ports_lie_below_outgoing_connections_and_differ():
    """Against programs that end in their start with code 3, `can't listen`."""
    ports = [find_free_port() for _ in range(200)]
    assert all(PORT_MIN <= port < read_port_limit() for port in ports)
    assert len(set(ports)) == len(ports)
