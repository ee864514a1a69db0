"""Simulated proxy with one group of three targets."""

import random

from toucandeal import engine
from toucandeal.configuration import Configuration, Row
from toucandeal.entities import TargetStatus
from toucandeal.evidence import status_received
from toucandeal.policies import Policies
from toucandeal.positions import NOTHING_SEEN
from toucandeal.requests import execution_answered
from toucandeal.tables import ProxyIdentity, Tables

GROUP = 'g'
NAMES = ('a', 'b', 'c')
TERM = 10


def target_document(name, **changes):
    return {
        'name': name,
        'address': f'10.0.0.{ord(name)}:5000',
        'failure_domain': 'd',
        'slots': 2,
        'connections': 16,
        **changes,
    }


def class_document(**changes):
    return {
        'group': GROUP,
        'is_write': False,
        'freshness_s': 5.0,
        'idempotent': True,
        'deadline_s': 0.5,
        'late_weight': 1,
        'lost_weight': 1,
        'doubled_weight': 1,
        **changes,
    }


ROWS = (
    Row(f'group/{GROUP}', 1, {'targets': [target_document(n) for n in NAMES]}),
    Row('class/glance', 2, class_document()),
    Row('class/fresh', 3, class_document(freshness_s=0)),
    Row('class/book', 4, class_document(is_write=True, idempotent=False)),
    Row('class/log', 5, class_document(is_write=True, late_weight=9)),
    Row('caller/one', 6, {}),
    Row('caller/two', 7, {}),
)


class SimulatedProxy:
    """The tables and the clock of one proxy."""

    def __init__(self, **policies):
        self.tables = Tables(ProxyIdentity('p', 7), Policies(**policies))
        self.now = 100.0
        self.actions = []
        self.generator = random.Random(1)
        self.tables.ticked_at = self.now
        self.configuration = self.apply_event(
            engine.configuration_received, Configuration(0, {}), 7, list(ROWS)
        )
        self.tables.proxies_counted = 1
        for name, view in self.tables.views.items():
            self.tables.views[name] = view._replace(connection_share=15)

    def apply_event(self, event, *arguments, **options):
        frame = engine.begin_frame(self.tables, self.now, self.generator)
        returned = event(frame, *arguments, **options)
        engine.run(frame)
        self.actions.extend(frame.actions)
        return returned

    def tick(self, seconds=0.0):
        self.now += seconds
        frame = engine.begin_frame(self.tables, self.now, self.generator)
        engine.tick(frame)
        self.actions.extend(frame.actions)

    def report_status(
        self, name, index, *, primary=False, term=TERM, **changes
    ):
        fields = {
            'is_primary': primary,
            'term': term,
            'log_term': term,
            'index': index,
            'upstream_age_s': 0.0,
            **changes,
        }
        sent_at = fields.pop('sent_at', self.now)
        self.apply_event(status_received, name, sent_at, TargetStatus(**fields))

    def report_all(self, index=5):
        """Report the same index from `a`, the primary, and both replicas."""
        self.report_status('a', index, primary=True)
        self.report_status('b', index)
        self.report_status('c', index)

    def submit(
        self,
        name='glance',
        caller='one',
        key=None,
        seen=NOTHING_SEEN,
        waited_s=0,
    ):
        request_class = engine.find_class(self.tables, caller, name)

        def arrive(frame):
            request = engine.new_request(
                frame,
                caller,
                request_class,
                key=key,
                body=(),
                seen=seen,
                waited_s=waited_s,
            )
            engine.request_arrived(frame, request)
            return request.identity

        return self.apply_event(arrive)

    def answer(self, identity, target, result, sent_at=None):
        sent_at = self.now if sent_at is None else sent_at
        self.apply_event(execution_answered, identity, target, result, sent_at)

    def pop_actions(self, kind):
        """Remove the actions of a kind and return them."""
        chosen = [action for action in self.actions if type(action) is kind]
        self.actions = [
            action for action in self.actions if type(action) is not kind
        ]
        return chosen

    def outcome(self, identity):
        """Return the outcome of a request, or None."""
        from toucandeal.actions import Reply

        return next(
            (
                action.outcome
                for action in self.actions
                if isinstance(action, Reply) and action.request == identity
            ),
            None,
        )
