package scheduling

// What an effect says, by its type; nil or empty where it is another one.

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

// canceled is the ID of the call whose attempt is to be canceled.
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
