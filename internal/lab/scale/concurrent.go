package scale

import (
	"errors"
	"sync"
)

// forEach calls do for all items at once, with each one's index, and returns the joined errors once all are done.
func forEach[T any](items []T, do func(i int, item T) error) error {
	errs := make([]error, len(items))
	var all sync.WaitGroup
	for i, item := range items {
		all.Go(func() { errs[i] = do(i, item) })
	}
	all.Wait()
	return errors.Join(errs...)
}
