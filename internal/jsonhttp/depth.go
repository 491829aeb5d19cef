package jsonhttp

// BoundDepth returns a JSON text in which each array and object at the given nesting level that is
// nested deeper than limit is replaced by false. The outermost value has the level 1. Nothing else
// is validated.
func BoundDepth(raw []byte, level, limit int) []byte {
	bounder := depthBounder{out: make([]byte, 0, len(raw)), level: level, limit: limit}
	for _, char := range raw {
		bounder.append(char)
	}
	return bounder.out
}

// depthBounder is the state of BoundDepth after a part of the text.
type depthBounder struct {
	out          []byte
	level, limit int
	// depth is the number of open arrays and objects, deepest the largest since the last one
	// at level began at start in out.
	depth, deepest, start int
	inString, escaped     bool
}

func (b *depthBounder) append(char byte) {
	b.out = append(b.out, char)
	switch {
	case b.escaped:
		b.escaped = false
	case b.inString && char == '\\':
		b.escaped = true
	case char == '"':
		b.inString = !b.inString
	case b.inString:
	case char == '{' || char == '[':
		b.open()
	case char == '}' || char == ']':
		b.close()
	}
}

// open handles the beginning of an array or object, which is in out already.
func (b *depthBounder) open() {
	b.depth++
	if b.depth == b.level {
		b.start, b.deepest = len(b.out)-1, 0
	}
	b.deepest = max(b.deepest, b.depth)
}

// close handles the end of an array or object, which is in out already.
func (b *depthBounder) close() {
	if b.depth == b.level && b.deepest > b.limit {
		b.out = append(b.out[:b.start], "false"...)
	}
	b.depth--
}
