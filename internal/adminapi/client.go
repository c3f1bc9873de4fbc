package adminapi

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Send sends one command to a node's admin API and returns the response without its line end. The timeout
// bounds the connecting, and separately the exchange of the command and the response.
func Send(addr, command string, timeout time.Duration) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return "", fmt.Errorf("connecting to the admin API: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(conn, command+"\n"); err != nil {
		return "", fmt.Errorf("sending a command to the admin API: %w", err)
	}
	response, err := io.ReadAll(io.LimitReader(conn, 2*maxResponseBytes))
	if err != nil {
		return "", fmt.Errorf("reading the response of the admin API: %w", err)
	}
	return strings.TrimSpace(string(response)), nil
}
