package ring

import "context"

// Reply is a ring with a capacity of one that carries the answer to one request.
type Reply[T any] struct{ *Ring[T] }

// NewReply returns an empty reply.
func NewReply[T any]() Reply[T] { return Reply[T]{New[T]("reply", 1, Refuse)} }

// Send stores the answer. A further answer is dropped and counted as refused while
// the first has not been taken.
func (r Reply[T]) Send(answer T) { _ = r.Put(context.Background(), answer) }
