package adminapi

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Ask makes one call at an operators' address and gives its answer, without the line's end.
func Ask(addr, call string, most time.Duration) (string, error) {
	nc, err := net.DialTimeout("tcp", addr, most)
	if err != nil {
		return "", fmt.Errorf("operators' address: %w", err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(most))
	if _, err := io.WriteString(nc, call+"\n"); err != nil {
		return "", fmt.Errorf("operators' address: %w", err)
	}
	answer, err := io.ReadAll(io.LimitReader(nc, 2*maxAnswer))
	if err != nil {
		return "", fmt.Errorf("operators' address: %w", err)
	}
	return strings.TrimSpace(string(answer)), nil
}
