"""Instances and samples as an entry may observe them."""

import random

from persimmonsail.decisions import admission
from persimmonsail.decisions import fleet
from persimmonsail.decisions import interference


def make_instance(name, **fields):
    """Return an idle instance, with the given fields changed."""
    values = {
        'zone': 'a',
        'rack': 'r1',
        'incarnation': '1',
        'address': name,
        'service': 'planning',
        'leaving': False,
        'slots': 8,
        'max_connections': 64,
        'capacity': admission.Size(64.0, 250.0),
        'committed': admission.Size(),
        'busy_slots': 0,
        'queued': 0,
        'connections': 0,
        'reported_at': 0.0,
        **fields,
    }
    return fleet.Instance(name=name, **values)


def make_estimator():
    """Return an estimator without learned state."""
    return interference.Estimator()


def make_sample(victim, seconds, shares, at=0.0, busy=0.3, count=30):
    """Return one window's sample."""
    return interference.Sample(victim, seconds, count, shares, busy, at)


def train(estimator, coefficients, base_seconds, count=200, begin=0.0, seed=1):
    """Train on samples of a linear model with noise, one a second."""
    generator = random.Random(seed)
    for second in range(count):
        shares = {
            name: generator.choice((0.0, 0.125, 0.25, 0.5))
            for name in coefficients
        }
        excess = sum(coefficients[n] * s for n, s in shares.items())
        seconds = base_seconds * (1 + excess) * generator.gauss(1.0, 0.05)
        busy = generator.choice((0.3, 0.6, 0.9))
        estimator.learn(
            make_sample('check', seconds, shares, begin + second, busy)
        )
