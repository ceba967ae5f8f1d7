package scheduling

// The functions of this file convert an effect to one of its types. They return nil, or "", for an effect of another type.

func asAttemptStart(e Effect) *AttemptStart {
	s, _ := e.(*AttemptStart)
	return s
}

func asCallFailed(e Effect) *CallFailed {
	c, _ := e.(*CallFailed)
	return c
}

func asCallFinished(e Effect) *CallFinished {
	c, _ := e.(*CallFinished)
	return c
}

// canceledCallID returns the ID of the call whose attempt is to be canceled.
func canceledCallID(e Effect) string {
	if c, ok := e.(CancelAttempt); ok {
		return c.Call.ID
	}
	return ""
}

func isCallUnplaced(e Effect) bool {
	_, ok := e.(CallUnplaced)
	return ok
}
