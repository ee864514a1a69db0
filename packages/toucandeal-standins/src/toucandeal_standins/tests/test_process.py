"""Processes of the tests."""

from toucandeal_standins import process


def test_no_port_is_given_out_twice(monkeypatch):
    monkeypatch.setattr(process, 'LAST_PORT', process.FIRST_PORT + 200)
    ports = [process.free_port() for _ in range(60)]
    assert len(set(ports)) == len(ports)
