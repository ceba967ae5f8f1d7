package httpserver

// headScanner follows the head of one request through the pieces in which it arrives, until its end. It splits lines as net/http does.
type headScanner struct {
	// bytes counts the bytes of the head, line ends before the request line included; lines counts its complete lines.
	bytes, lines int
	// lineBytes counts the bytes of the current line without a carriage return that may belong to its end.
	lineBytes int
	// carriageReturn means that the last byte was a carriage return, which belongs to the line unless a line feed follows.
	carriageReturn bool
	complete       bool
}

// scan takes the next bytes and returns how many of them belong to the head.
func (s *headScanner) scan(raw []byte) int {
	for i, b := range raw {
		s.bytes++
		switch {
		case b == '\n':
			s.endLine()
			if s.complete {
				return i + 1
			}
		case b == '\r' && !s.carriageReturn:
			s.carriageReturn = true
		case s.carriageReturn:
			s.carriageReturn = b == '\r'
			s.lineBytes++
			if b != '\r' {
				s.lineBytes++
			}
		default:
			s.lineBytes++
		}
	}
	return len(raw)
}

// endLine handles a line feed. An empty line ends the head, except before the request line.
func (s *headScanner) endLine() {
	empty := s.lineBytes == 0
	s.lineBytes, s.carriageReturn = 0, false
	if !empty {
		s.lines++
		return
	}
	s.complete = s.lines > 0
}

// cost returns the memory that the head takes once it is parsed.
func (s *headScanner) cost() int64 {
	return int64(s.bytes) + int64(s.lines)*fieldCostBytes
}
