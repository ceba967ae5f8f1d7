package scheduling

// What an effect says, by its type; nil or empty where it is another one.

func started(e Effect) *AttemptStart {
	s, _ := e.(*AttemptStart)
	return s
}

func failed(e Effect) *CallFailed {
	f, _ := e.(*CallFailed)
	return f
}

func finished(e Effect) *CallFinished {
	f, _ := e.(*CallFinished)
	return f
}

// canceled is the ID of the call whose attempt is to be canceled.
func canceled(e Effect) string {
	if c, ok := e.(CancelAttempt); ok {
		return c.Call.ID
	}
	return ""
}

func unplaced(e Effect) bool {
	_, ok := e.(CallUnplaced)
	return ok
}
