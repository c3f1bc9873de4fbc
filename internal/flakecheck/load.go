package main

import "sync/atomic"

// startLoad starts n goroutines that use CPU time until stop is called.
func startLoad(n int) (stop func()) {
	var stopped atomic.Bool
	for range n {
		go func() {
			for x := 1.0; !stopped.Load(); x *= 1.0001 {
				if x > 1e9 {
					x = 1
				}
			}
		}()
	}
	return func() { stopped.Store(true) }
}
