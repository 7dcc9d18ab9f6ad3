"""Prediction of interference from images that behave alike.

Load pattern: a deployment has too many pairs of images to observe each of
them, and every pair that is tried costs serving tasks their targets. Images
that need the same resource behave alike: best-effort images interfere with the
same serving images, and serving images suffer from the same best-effort ones.
So what was observed for one image says something about others that agreed with
it so far. How far that holds differs between deployments: predictions count as
much as they would have helped for the pairs that were observed.
"""

import numpy

# Probability that two images behave alike, before any observation.
_ALIKE_SHARE = 0.2
# Probability that images which behave alike differ in a pair all the same.
_EXCEPTION_SHARE = 0.1
# Limit of the evidence about one pair, in log-odds: it is nearly certain then.
_MAX_EVIDENCE = 6.0
# Limit of what other pairs say about one, in log-odds. They are not
# independent of each other, and an observation of the pair itself has to be
# able to outweigh them.
_MAX_PREDICTION = 3.0
# How much predictions may count.
_TRUST_LEVELS = numpy.linspace(0.0, 1.0, 9)


def predict(evidence: numpy.ndarray, share: float) -> numpy.ndarray:
    """Predict each pair of images from all others.

    Parameters
    ----------
    evidence : numpy.ndarray
        What the observations of each pair say for interference, as the
        logarithm of their likelihood ratio; 0 for pairs without any. Shape
        (serving images, best-effort images).
    share : float
        The share of pairs that interfere.

    Returns
    -------
    numpy.ndarray
        Log-odds of interference, relative to those of ``share``; the same
        shape.
    """
    ratios = numpy.exp(numpy.clip(evidence, -_MAX_EVIDENCE, _MAX_EVIDENCE))
    predicted = _predict_rows(ratios, share)
    predicted += _predict_rows(ratios.T, share).T
    predicted = numpy.clip(predicted, -_MAX_PREDICTION, _MAX_PREDICTION)
    return _measure_trust(ratios, predicted, share) * predicted


def _measure_trust(
    ratios: numpy.ndarray, predicted: numpy.ndarray, share: float
) -> float:
    """Return how much predictions should count, from 0 to 1.

    That is the mean of the levels, weighted by the likelihood of what was
    observed. A pair's own observations are no part of its prediction.
    """
    log_odds = numpy.log(share / (1 - share)) + numpy.multiply.outer(
        _TRUST_LEVELS, predicted
    )
    shares = 1 / (1 + numpy.exp(-log_odds))
    scores = numpy.log(shares * ratios + 1 - shares).sum(axis=(1, 2))
    weights = numpy.exp(scores - scores.max())
    return float(weights @ _TRUST_LEVELS / weights.sum())


def _predict_rows(ratios: numpy.ndarray, share: float) -> numpy.ndarray:
    """Predict each row's values from the rows that behave alike."""
    alike = _compare_rows(ratios, share)
    marginal = share * ratios + 1 - share
    # The likelihood of the other row's observations if this row's pair
    # interferes, and if it does not; shape (rows, other rows, columns).
    certain = alike * (1 - _EXCEPTION_SHARE)
    independent = (1 - certain) * marginal[None, :, :]
    messages = numpy.log(certain * ratios[None, :, :] + independent)
    messages -= numpy.log(certain + independent)
    rows = numpy.arange(len(ratios))
    messages[rows, rows] = 0.0
    return messages.sum(axis=1)


def _compare_rows(ratios: numpy.ndarray, share: float) -> numpy.ndarray:
    """Return how probably two rows behave alike, judged by other columns.

    Returns
    -------
    numpy.ndarray
        Probabilities; shape (rows, other rows, column to predict).
    """
    marginal = share * ratios + 1 - share
    both = share * ratios[:, None, :] * ratios[None, :, :] + 1 - share
    agreement = both / (marginal[:, None, :] * marginal[None, :, :])
    scores = numpy.log((1 - _EXCEPTION_SHARE) * agreement + _EXCEPTION_SHARE)
    prior = numpy.log(_ALIKE_SHARE / (1 - _ALIKE_SHARE))
    log_odds = prior + scores.sum(axis=2, keepdims=True) - scores
    return 1 / (1 + numpy.exp(-log_odds))
