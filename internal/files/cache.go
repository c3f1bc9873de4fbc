package files

// cache holds the values that were derived from the parts of at most two versions: the current version and the version
// that was parsed last. Their size bounds that of the cache. The zero value is empty.
type cache[K comparable, V any] struct {
	current, last map[K]V
	next          map[K]V // values of the version that is being parsed
	misses        int     // number of load calls, for tests
}

// get returns the cached value of a key, or calls load for it. An error of load is returned and is not cached.
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

// keyOf returns the key under which v is cached for the last or the current version.
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

// end ends the parsing of a version and, by its outcome, keeps its values or drops them.
func (c *cache[K, V]) end(o outcome) {
	switch o {
	case accepted:
		c.current, c.last = c.next, nil
	case rejected:
		c.last = c.next
	case unbundled:
		c.current, c.last = c.last, c.next
	}
	c.next = nil
}

// outcome is what happens to a version after it was parsed, and so to its cached values.
type outcome int

const (
	discarded outcome = iota // the values are dropped
	rejected                 // the values are cached as those of the last version, beside the current version's
	accepted                 // the version is the current one, and no other version is cached
	unbundled                // the values are cached beside those of the version that was unbundled before
)
