package dispatch

import "container/list"

// prefixCache models the KV cache of one engine: it holds prompt segments and the tokens
// that running requests generate. Segments of running requests stay; of the others the
// least recently used ones are evicted first.
type prefixCache struct {
	capacity float64 // tokens
	// segmentTokens is the sum of the tokens of all segments, generatedTokens the number
	// that running requests are expected to generate.
	segmentTokens   float64
	generatedTokens float64
	idle            list.List // of *cacheSegment without users, the newest first
	index           map[uint64]*cacheSegment
}

// cacheSegment is a prompt segment in the cache.
type cacheSegment struct {
	id      uint64
	tokens  float64
	users   int           // running requests
	element *list.Element // in idle, nil while there are users
	// prefilled reports whether the response to a request with this segment has begun.
	prefilled bool
}

// uncachedTokens returns how many of the prompt's tokens the engine has to prefill, at
// least 1, and how many of these belong to segments that other requests may share: all but
// the last one. Segments count as cached up to the first that is missing.
func (c *prefixCache) uncachedTokens(prompt Prompt) (uncached, shared float64) {
	uncached = float64(prompt.Tokens)
	cached := 0
	for cached < len(prompt.Segments) {
		wanted := prompt.Segments[cached]
		if _, ok := c.index[wanted.ID]; !ok {
			break
		}
		uncached -= float64(wanted.Tokens)
		cached++
	}
	for i := cached; i < len(prompt.Segments)-1; i++ {
		shared += float64(prompt.Segments[i].Tokens)
	}
	// The last token is always processed, since generation starts from it.
	return max(uncached, 1), shared
}

// acquire adds a request that the engine runs and returns its segments, which stay in the
// cache until release.
func (c *prefixCache) acquire(prompt Prompt) []*cacheSegment {
	if c.index == nil {
		c.index = make(map[uint64]*cacheSegment)
	}
	used := make([]*cacheSegment, 0, len(prompt.Segments))
	for _, wanted := range prompt.Segments {
		segment := c.index[wanted.ID]
		if segment == nil {
			segment = &cacheSegment{
				id:     wanted.ID,
				tokens: float64(wanted.Tokens),
			}
			c.index[wanted.ID] = segment
			c.segmentTokens += segment.tokens
		}
		if segment.element != nil {
			c.idle.Remove(segment.element)
			segment.element = nil
		}
		segment.users++
		used = append(used, segment)
	}
	c.generatedTokens += prompt.ExpectedOutput()
	c.evict()
	return used
}

// release removes a request that ended. Segments without users that were never prefilled
// are not in the engine's cache and are removed.
func (c *prefixCache) release(used []*cacheSegment, prompt Prompt) {
	c.generatedTokens = max(0, c.generatedTokens-prompt.ExpectedOutput())
	// The first segments are shared most, so they become the most recently used.
	for i := len(used) - 1; i >= 0; i-- {
		segment := used[i]
		segment.users--
		if segment.users > 0 {
			continue
		}
		if !segment.prefilled {
			c.remove(segment)
			continue
		}
		segment.element = c.idle.PushFront(segment)
	}
	c.evict()
}

// remove removes a segment that is not in the idle list.
func (c *prefixCache) remove(segment *cacheSegment) {
	delete(c.index, segment.id)
	c.segmentTokens -= segment.tokens
}

// evict removes the least recently used idle segments while the cache exceeds its capacity.
func (c *prefixCache) evict() {
	for c.segmentTokens+c.generatedTokens > c.capacity && c.idle.Len() > 0 {
		segment := c.idle.Remove(c.idle.Back()).(*cacheSegment)
		segment.element = nil
		c.remove(segment)
	}
}
