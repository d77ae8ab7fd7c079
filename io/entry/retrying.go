package entry

// retrying reports whether the client has tried the request before, as far as the time that it has left tells.
func (x *exchange) retrying() bool { return false }
