package badpeers

// streamsPerConnection is http2_streams of program.
const streamsPerConnection = 100

// program is the load balancer's configuration in TOML: a class that may be retried and one that must not be.
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
