package dispatch

import "container/list"

// prefixes is what one engine is taken to have in its memory: the pieces of prompts
// and what its running requests generate. Pieces of running requests stay; of the
// others the least recently used ones yield.
type prefixes struct {
	capacity float64 // tokens
	// pieces are the tokens of all pieces, generated those that running requests are
	// expected to add.
	pieces    float64
	generated float64
	idle      list.List // of *piece that no running request uses, the newest first
	index     map[uint64]*piece
}

// piece is a part of prompts.
type piece struct {
	id      uint64
	tokens  float64
	users   int           // running requests
	element *list.Element // in idle, nil while there are users
	// read is false until a request that has it has begun to be answered.
	read bool
}

// unreadTokens returns how many of the prompt's tokens the engine has to read,
// and how many of these belong to pieces that other requests may share: all but
// the last piece.
func (p *prefixes) unreadTokens(prompt Prompt) (unread, shared float64) {
	unread = float64(prompt.Tokens)
	kept := 0
	for kept < len(prompt.Segments) {
		part := prompt.Segments[kept]
		if _, ok := p.index[part.ID]; !ok {
			break
		}
		unread -= float64(part.Tokens)
		kept++
	}
	for i := kept; i < len(prompt.Segments)-1; i++ {
		shared += float64(prompt.Segments[i].Tokens)
	}
	// The last token is always read, to generate from.
	return max(unread, 1), shared
}

// use takes a request in and returns the pieces that it uses.
func (p *prefixes) use(prompt Prompt) []*piece {
	if p.index == nil {
		p.index = make(map[uint64]*piece)
	}
	used := make([]*piece, 0, len(prompt.Segments))
	for _, part := range prompt.Segments {
		x := p.index[part.ID]
		if x == nil {
			x = &piece{
				id:     part.ID,
				tokens: float64(part.Tokens),
			}
			p.index[part.ID] = x
			p.pieces += x.tokens
		}
		if x.element != nil {
			p.idle.Remove(x.element)
			x.element = nil
		}
		x.users++
		used = append(used, x)
	}
	p.generated += prompt.ExpectedOutput()
	p.evict()
	return used
}

// release takes the end of a request. Pieces that nobody has read are not there.
func (p *prefixes) release(used []*piece, prompt Prompt) {
	p.generated = max(0, p.generated-prompt.ExpectedOutput())
	// The first pieces are used most, so they become the newest.
	for i := len(used) - 1; i >= 0; i-- {
		x := used[i]
		x.users--
		if x.users > 0 {
			continue
		}
		if !x.read {
			p.drop(x)
			continue
		}
		x.element = p.idle.PushFront(x)
	}
	p.evict()
}

func (p *prefixes) drop(x *piece) {
	delete(p.index, x.id)
	p.pieces -= x.tokens
}

func (p *prefixes) evict() {
	for p.pieces+p.generated > p.capacity && p.idle.Len() > 0 {
		x := p.idle.Remove(p.idle.Back()).(*piece)
		x.element = nil
		p.drop(x)
	}
}
