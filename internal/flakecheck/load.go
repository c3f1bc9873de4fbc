package main

import (
	"sync/atomic"
)

// busy keeps so many cores at work until stop is called.
func busy(n int) (stop func()) {
	var over atomic.Bool
	for range n {
		go func() {
			for x := 1.0; !over.Load(); x *= 1.0001 {
				if x > 1e9 {
					x = 1
				}
			}
		}()
	}
	return func() { over.Store(true) }
}
