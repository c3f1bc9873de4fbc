package files

// cache has what was made from the parts of two versions, the current one and the one that was parsed last, so that it
// is bounded by their size. The zero value is empty.
type cache[K comparable, V any] struct {
	current, last map[K]V
	next          map[K]V // of the version that is being parsed
	misses        int     // for tests
}

// get returns the value of a key and loads it if it is not cached. An error of load is returned and not cached.
func (c *cache[K, V]) get(key K, load func() (V, error)) (V, error) {
	v, found := c.find(key)
	if !found {
		var err error
		c.misses++
		if v, err = load(); err != nil {
			return v, err
		}
	}
	c.put(key, v)
	return v, nil
}

func (c *cache[K, V]) find(key K) (v V, found bool) {
	for _, values := range [...]map[K]V{c.next, c.last, c.current} {
		if v, found = values[key]; found {
			return v, true
		}
	}
	return v, false
}

// put adds a value to the version that is being parsed.
func (c *cache[K, V]) put(key K, v V) {
	if c.next == nil {
		c.next = map[K]V{}
	}
	c.next[key] = v
}

// keyOf returns the key of a value of the two cached versions.
func keyOf[K, V comparable](c *cache[K, V], v V) (key K, found bool) {
	for _, values := range [...]map[K]V{c.last, c.current} {
		for k, value := range values {
			if value == v {
				return k, true
			}
		}
	}
	return key, false
}

// end records what became of the version that was parsed.
func (c *cache[K, V]) end(o outcome) {
	switch o {
	case accepted:
		c.current, c.last = c.next, nil
	case rejected:
		c.last = c.next
	case followed:
		c.current, c.last = c.last, c.next
	}
	c.next = nil
}

// outcome is what became of a version that was parsed.
type outcome int

const (
	discarded outcome = iota // not cached
	rejected                 // cached beside the current one
	accepted                 // the current one; no other is cached
	followed                 // cached beside the one that was parsed before
)
