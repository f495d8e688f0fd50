"""One term of leadership: reports, planning, commands to workers and late starts."""
