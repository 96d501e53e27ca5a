"""A stand-in AMQP 0-9-1 broker: queues, prefetch, redelivery, confirms, and what it did with each message."""

import contextlib
from collections import deque

from lapispick.fakes.peers import Server
from lapispick.host.amqp import codec
from lapispick.host.amqp.codec import Properties


class Message:
    """One message and its fate: None, ``ack``, ``reject`` or ``requeue`` (then it is given out again)."""

    def __init__(self, properties, body, raw=None):
        self.properties, self.body, self.raw = properties, body, raw
        self.redelivered, self.fate, self.given = False, None, 0


class Broker(Server):
    """Speaks with consumers; ``lose`` names methods of theirs that break the connection instead."""

    def __init__(self, heartbeat=10):
        self.queues, self.replies, self.messages = {}, [], []
        self.lose, self.nacks, self.unroutable, self.most_held = None, 0, False, 0
        self.crossing = None
        self.cancelled, self.closed, self.methods, self.heartbeat, self.beats = 0, 0, [], heartbeat, 0
        super().__init__()

    def put(self, queue, body, raw=None, redelivered=False, **properties):
        """Put a message into a queue; ``raw`` makes the frames of its first delivery for its content."""
        with self.lock:
            message = Message(Properties(**properties), body.encode(), raw)
            message.redelivered = redelivered
            self.messages.append(message)
            self.queues.setdefault(queue, deque()).append(message)
            for link in list(self.links):
                with contextlib.suppress(OSError):  # a link that is just ending gives all back
                    self.pump(link)
        return message

    def talk(self, link):
        file = link.makefile("rb")
        assert file.read(8) == codec.PROTOCOL_HEADER
        state = LINKS[link] = {}
        self.say(
            link,
            0,
            "connection.start",
            major=0,
            minor=9,
            server_properties={"product": "stand-in"},
            mechanisms=b"PLAIN AMQPLAIN",
            locales=b"en_US",
        )
        try:
            while head := file.read(7):
                kind, channel, size = codec.FRAME_HEAD.unpack(head)
                payload = file.read(size)
                assert file.read(1) == b"\xce"
                with self.lock:
                    if kind == codec.METHOD:
                        method = codec.decode_method(payload)
                        self.methods.append(method.name)
                        if method.name == self.lose:
                            self.lose = None
                            return
                        getattr(self, "on_" + method.name.replace(".", "_").replace("-", "_"))(
                            link, channel, state, method.args
                        )
                    elif kind == codec.HEARTBEAT:
                        self.beats += 1
                    else:
                        self.content(link, channel, state, kind, payload)
        finally:
            with self.lock:
                LINKS.pop(link)
                for channel in state.values():
                    self.give_back(channel)

    def give_back(self, channel):
        """Put what a channel did not settle in front of its queue again."""
        for message in reversed(channel["unacked"].values()):
            message.redelivered = True
            self.queues[channel["queue"]].appendleft(message)

    def say(self, link, channel, name, **args):
        link.sendall(codec.encode_method(channel, name, **args))

    def pump(self, link):
        """Give out what the prefetch allows."""
        for number, c in LINKS.get(link, {}).items():
            queue = self.queues.setdefault(c["queue"], deque()) if c.get("tag") else ()
            while queue and len(c["unacked"]) < c["prefetch"]:
                message = queue.popleft()
                c["next"] += 1
                c["unacked"][c["next"]] = message
                message.given += 1
                self.most_held = max(self.most_held, len(c["unacked"]))
                link.sendall(
                    codec.encode_method(
                        number,
                        "basic.deliver",
                        tag=c["tag"],
                        delivery=c["next"],
                        exchange="",
                        redelivered=message.redelivered,
                        routing_key=c["queue"],
                    )
                )
                content = codec.encode_content(number, message.properties, message.body, 4096)
                link.sendall(message.raw(number) if message.raw and message.given == 1 else content)

    def on_connection_start_ok(self, link, channel, state, args):
        if args["response"] != b"\0guest\0guest":
            raise ValueError("a wrong log-in")
        self.say(link, 0, "connection.tune", channel_max=100, frame_max=4096, heartbeat=self.heartbeat)

    def on_connection_tune_ok(self, link, channel, state, args):
        assert args["frame_max"] == 4096 and args["heartbeat"] <= self.heartbeat

    def on_connection_open(self, link, channel, state, args):
        self.say(link, 0, "connection.open-ok")

    def on_connection_close(self, link, channel, state, args):
        self.closed += 1
        self.say(link, 0, "connection.close-ok")

    def on_connection_close_ok(self, link, channel, state, args):
        pass

    def on_channel_open(self, link, channel, state, args):
        state[channel] = {"unacked": {}, "next": 0, "published": 0, "queue": "", "publish": None}
        self.say(link, channel, "channel.open-ok")

    def on_channel_close(self, link, channel, state, args):
        self.give_back(state.pop(channel))
        self.say(link, channel, "channel.close-ok")

    def on_channel_close_ok(self, link, channel, state, args):
        pass

    def on_confirm_select(self, link, channel, state, args):
        self.say(link, channel, "confirm.select-ok")

    def on_basic_qos(self, link, channel, state, args):
        state[channel]["prefetch"] = args["count"]
        self.say(link, channel, "basic.qos-ok")

    def on_basic_consume(self, link, channel, state, args):
        state[channel] |= {"queue": args["queue"], "tag": args["tag"]}
        self.say(link, channel, "basic.consume-ok", tag=args["tag"])
        self.pump(link)

    def on_basic_cancel(self, link, channel, state, args):
        self.cancelled += 1
        if self.crossing:  # a message that is on its way while the consumer cancels
            self.put(state[channel]["queue"], "crossing", **self.crossing)
        state[channel]["tag"] = None
        self.say(link, channel, "basic.cancel-ok", tag=args["tag"])

    def settle(self, link, channel, state, tag, fate):
        c = state[channel]
        message = c["unacked"].pop(tag)
        assert message.fate is None
        message.fate = fate
        self.pump(link)

    def on_basic_ack(self, link, channel, state, args):
        self.settle(link, channel, state, args["delivery"], "ack")

    def on_basic_reject(self, link, channel, state, args):
        self.settle(link, channel, state, args["delivery"], "requeue" if args["requeue"] else "reject")

    def on_basic_publish(self, link, channel, state, args):
        state[channel]["publish"] = [args["routing_key"], None, b""]

    def content(self, link, channel, state, kind, payload):
        c = state[channel]
        publish = c["publish"]
        if kind == codec.HEADER:
            publish[1], c["left"] = codec.decode_properties(payload), codec.decode_size(payload)
        else:
            publish[2] += payload
            c["left"] -= len(payload)
        if c["left"]:
            return
        c["published"] += 1
        number = c["published"]
        if self.nacks:
            self.nacks -= 1
            return self.say(link, channel, "basic.nack", delivery=number, multiple=False, requeue=False)
        if self.unroutable:
            self.say(link, channel, "basic.return", code=312, text="NO_ROUTE", exchange="", routing_key=publish[0])
            link.sendall(codec.encode_content(channel, publish[1], publish[2], 4096))
        else:
            self.replies.append((publish[0], publish[1], publish[2].decode()))
        self.say(link, channel, "basic.ack", delivery=number, multiple=False)

    def reply(self, correlation):
        """Return (outcome, body, headers) of the only reply with this id, or None."""
        found = [r for r in list(self.replies) if r[1].correlation_id == correlation]
        assert len(found) <= 1, "answered twice"
        return (found[0][1].type, found[0][2], found[0][1].headers) if found else None


LINKS = {}  # the state of each connection
