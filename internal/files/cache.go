package files

// cache holds what was made of the parts of two versions, the one in force and the one that was looked at last, so
// that it is bounded by their size.
type cache[K comparable, V any] struct {
	inForce, last map[K]V
	next          map[K]V // of the version that is being looked at
	misses        int     // how many were not held, counted for tests
}

// get gives the value of a key, made anew if it is not held.
func (c *cache[K, V]) get(key K, load func() (V, error)) (V, error) {
	v, held := c.find(key)
	if !held {
		var err error
		c.misses++
		if v, err = load(); err != nil {
			return v, err
		}
	}
	c.put(key, v)
	return v, nil
}

func (c *cache[K, V]) find(key K) (v V, held bool) {
	for _, values := range [...]map[K]V{c.next, c.last, c.inForce} {
		if v, held = values[key]; held {
			return v, true
		}
	}
	return v, false
}

func (c *cache[K, V]) put(key K, v V) {
	if c.next == nil {
		c.next = map[K]V{}
	}
	c.next[key] = v
}

// keyOf gives the key of a value of the versions that are kept.
func keyOf[K, V comparable](c *cache[K, V], v V) (key K, held bool) {
	for _, values := range [...]map[K]V{c.last, c.inForce} {
		for k, value := range values {
			if value == v {
				return k, true
			}
		}
	}
	return key, false
}

// end tells what became of the version that was looked at.
func (c *cache[K, V]) end(o outcome) {
	switch o {
	case taken:
		c.inForce, c.last = c.next, nil
	case refused:
		c.last = c.next
	case followed:
		c.inForce, c.last = c.last, c.next
	}
	c.next = nil
}

// outcome is what became of a version that was looked at.
type outcome int

const (
	dropped  outcome = iota // nothing of it is kept
	refused                 // kept beside the one in force
	taken                   // in force
	followed                // kept beside the one that was looked at before
)
