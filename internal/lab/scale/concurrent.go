package scale

import (
	"errors"
	"sync"
)

// forEach calls do concurrently for all items, with the index of each item. When all calls have returned, it returns
// their errors, joined.
func forEach[T any](items []T, do func(i int, item T) error) error {
	errs := make([]error, len(items))
	var all sync.WaitGroup
	for i, item := range items {
		all.Go(func() { errs[i] = do(i, item) })
	}
	all.Wait()
	return errors.Join(errs...)
}
