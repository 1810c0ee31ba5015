package standin

// result is how a job ended.
type result struct {
	status int
	ran    bool
	body   []byte
}
