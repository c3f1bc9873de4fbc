package badpeers

// streamsPerConnection is the limit on streams of an HTTP/2 connection, the value of http2_streams in program.
const streamsPerConnection = 100

// program is the configuration of the load balancer in TOML. It has a class whose requests may be retried and a class
// whose requests must not be retried.
const program = `[listen]
address = "127.0.0.1:0"
connections = 20000
silent = 4096
http2_streams = 100
[files]
clusters = "none"
max_removed_share = 1
[keys]
folder = "keys"
[limits]
attempts = 3
[[class]]
name = "read"
effect = "safe"
deadline = "60s"
aim = "400ms"
[[class]]
name = "pay"
effect = "unsafe"
deadline = "60s"
aim = "400ms"
[[host]]
[[host.route]]
prefix = "/pay/"
class = "pay"
cluster = "peers"
[[host.route]]
prefix = "/"
class = "read"
cluster = "peers"
`
