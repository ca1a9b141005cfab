"""A server crashes while it sends a stream whose length it has declared; another one goes on."""

import os
import random
import struct
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit"))
from world import *

PIECES = 12
PIECE_S = 0.08
SERVERS = 6
CLIENTS = 36


def piece(server, request_id, number):
    """A piece as this server makes it: each server samples its own words."""
    words = random.Random(f"{server.id} {request_id} {number}")
    text = "".join(words.choices("abcdefghij", k=words.randint(10, 40)))
    return f"id: {number}\ndata: {text}\n\n".encode()


def run(request, reply):
    server = reply.server
    first = int(get(request.headers, "last-event-id") or 0) + 1
    pieces = [piece(server, request.id, number) for number in range(first, PIECES + 1)]
    length = sum(map(len, pieces))
    reply.send(reply.head(200, [("Content-Type", "text/event-stream"), ("Content-Length", length)]))
    sent[request.id] = sent.get(request.id, []) + [(server.id, first, pieces)]
    connections.setdefault(server.id, set()).add(reply.connection)
    for data in pieces:
        time.sleep(PIECE_S)
        reply.send(data)
    connections[server.id].discard(reply.connection)
    server.record(f"server {server.id} has sent pieces {first} to {PIECES} of {request.id}")


sent, connections = {}, {}


def crash(server):
    """The process of a server ends: no listener any more, its connections are reset."""
    server.record(f"server {server.id} crashes")
    server.open = False
    server.listener.shutdown(socket.SHUT_RDWR)
    server.listener.close()
    for connection in list(connections.get(server.id, ())):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RD)
        connection.close()


def case(world):
    routes = [route("tag", "/tag/", "stream", "lm", CanResume=True, GapAimMs=500)]
    world.configure(routes, [("lm", 360)])
    servers = [world.server("lm", run) for _ in range(SERVERS)]
    router = world.start_routers()[0]
    answers = {}

    def client():
        connection = Client(router, world.record)
        request_id, answer = connection.ask("POST", "/tag/x", b"label this")
        answers[request_id] = answer
        connection.close()

    clients = [spawn(client) for _ in range(CLIENTS)]
    time.sleep(PIECE_S * PIECES / 2)
    if TROUBLE:
        crash(max(servers, key=lambda server: len(connections.get(server.id, ()))))
    for thread in clients:
        thread.join(20)
    if len(answers) < CLIENTS:
        raise CannotRun("not all clients were answered")
    broken = []
    for request_id, answer in answers.items():
        if answer.status != 200 or not answer.is_complete:
            continue
        # The last piece, as the server that sent it to the router made it.
        last = sent[request_id][-1][2][-1]
        if not answer.body.endswith(last):
            broken.append(request_id)
            world.record(f"{request_id} looks complete, and ends with {answer.body[-60:]!r}")
            world.record(f"{request_id}: the last piece of its last server is {last!r}")
    world.record(f"{len(answers)} answers, {len(broken)} of them end early and look complete")
    if broken:
        return f"MIXED: {len(broken)} answers end early and look complete"
    return ""


main(case, os.path.dirname(os.path.abspath(__file__)))
