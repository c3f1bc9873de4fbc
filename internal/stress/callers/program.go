package callers

// Program is the configuration of the load balancer in TOML. For each effect (safe, keyed, unsafe) it has a class with
// two routes: on one the proxy sends the request to the endpoint that the processor picks, on the other the processor
// forwards the request.
const Program = `[listen]
address = "127.0.0.1:0"
[files]
clusters = "none"
max_removed_share = 1
[extproc]
address = "127.0.0.1:0"
report = "200ms"
[limits]
attempts = 3
max_retry_after = "600ms"
[[class]]
name = "read"
effect = "safe"
deadline = "5s"
[[class]]
name = "push"
effect = "keyed"
scope = "all"
window = "60s"
deadline = "5s"
[[class]]
name = "pay"
effect = "unsafe"
deadline = "5s"
[[host]]
[[host.route]]
prefix = "/pick/push/"
class = "push"
cluster = "rooms"
processor = "pick"
[[host.route]]
prefix = "/pick/pay/"
class = "pay"
cluster = "rooms"
processor = "pick"
[[host.route]]
prefix = "/pick/"
class = "read"
cluster = "rooms"
processor = "pick"
[[host.route]]
prefix = "/push/"
class = "push"
cluster = "rooms"
[[host.route]]
prefix = "/pay/"
class = "pay"
cluster = "rooms"
[[host.route]]
prefix = "/"
class = "read"
cluster = "rooms"
`
