package cluster

// Transport says how to connect to a cluster's endpoints. The zero value is HTTP/1.1 in clear text.
type Transport struct {
	HTTP2 bool // HTTP/2 in place of HTTP/1.1
	TLS   *TLS // nil: clear text
}

// TLS says how endpoints' certificates are verified, and which client certificate is sent to endpoints. Roots and
// Certificate are names of entries in the program's folder of keys (package tlskeys).
type TLS struct {
	ServerName  string   // name that an endpoint's certificate must be valid for; "": the host of the endpoint's address
	Roots       string   // trusted root certificates; "": the system's
	Certificate string   // client certificate; "": none
	Pins        []string // SHA-256 hashes of public keys, in base64; the chain must have one of the keys; nil: any key
}
