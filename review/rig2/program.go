package main

// keyedProgram is a program's file with a keyed class whose servers drop repeats by cell, and the store of repeats on.
const keyedProgram = `[listen]
address = "LISTEN"

[upstream]
idle = "15s"
connect_timeout = "250ms"

[files]
clusters = "clusters"
poll = "500ms"

[repeats]
entries = 10000

[limits]
attempts = 3
max_retry_after = "600ms"

[[class]]
name = "avail-read"
effect = "safe"
deadline = "1400ms"

[[class]]
name = "booking-push"
effect = "keyed"
scope = "cell"
window = "6s"
deadline = "1900ms"

[[host]]
domains = ["*"]

[[host.route]]
name = "bookings"
prefix = "/booking"
methods = ["POST"]
class = "booking-push"
cluster = "rooms"

[[host.route]]
name = "the rest"
prefix = "/"
class = "avail-read"
cluster = "rooms"
`
