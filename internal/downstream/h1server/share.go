package h1server

import (
	"net/http"

	"yokestall/internal/ctxtime"
	"yokestall/internal/engine"
	"yokestall/internal/fairshare"
)

// awaitTurn charges an answer to its connection, which is nil if it has no place in the table. If the connection has used up
// its share, awaitTurn sends the answer and waits for the connection's turn, so that its next request is read after that. A
// connection that closes with its answer does not wait.
func (s *Server) awaitTurn(w http.ResponseWriter, r *http.Request, conn *clientConn, cost fairshare.Cost) {
	if conn == nil {
		return
	}
	wait, entered := conn.conns.shares.Charge(conn.conns.sinceStart(), &conn.share, cost)
	if entered {
		s.events.shareUsedUp(r)
	}
	if wait > 0 && w.Header().Get("Connection") != "close" && http.NewResponseController(w).Flush() == nil {
		ctxtime.Sleep(r.Context(), wait)
	}
}

// Shares returns the counts of the shares of the client connections.
func (s *Server) Shares() fairshare.Stats { return s.conns.shares.Stats() }

// costOf returns what an answer of a cluster takes of its connection's share.
func costOf(a engine.Answer) fairshare.Cost {
	if a.Sent {
		return fairshare.Forwarded
	}
	return fairshare.Local
}
