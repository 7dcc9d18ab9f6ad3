"""An emulated fleet in virtual time, for judging scheduling decisions.

The scheduler's own modules place, throttle and move the work; the reports
that they read come from a model of instances where best-effort tasks
interfere with colocated serving tasks. A day of a minute takes a second or
two, so that a change can be judged by many seeds instead of one run.
"""
