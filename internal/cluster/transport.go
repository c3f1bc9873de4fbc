package cluster

// Transport is how a cluster's endpoints are connected to. The zero value is HTTP/1.1 in clear text.
type Transport struct {
	HTTP2 bool
	TLS   *TLS // nil: clear text
}

// TLS is what the endpoints have to prove, and which certificate they are shown. Roots and Certificate are names of
// entries in the program's folder of keys (package tlskeys).
type TLS struct {
	ServerName  string   // that their certificates are for; "": the address's host
	Roots       string   // "": the system's
	Certificate string   // the client certificate; "": none
	Pins        []string // SHA-256 of keys in base 64, one of which the chain must have; nil: any
}
