// Package pqueue provides a generic priority queue.
//
// # Usage
//
//	h := pqueue.NewHeap(func(a, b int) bool { return a < b })
//	h.Push(3)
//	smallest, ok := h.Pop()
package pqueue

import (
	"container/heap"
	"slices"
)

// Heap is a priority queue whose first item is the smallest one. It is not safe for
// concurrent use.
type Heap[T any] struct {
	inner sliceHeap[T]
}

// NewHeap returns an empty heap that orders its items by less.
func NewHeap[T any](less func(a, b T) bool) *Heap[T] {
	return &Heap[T]{inner: sliceHeap[T]{less: less}}
}

// Push adds an item.
func (h *Heap[T]) Push(item T) { heap.Push(&h.inner, item) }

// Pop removes and returns the smallest item. It returns false if the heap is empty.
func (h *Heap[T]) Pop() (T, bool) {
	var zero T
	if len(h.inner.items) == 0 {
		return zero, false
	}
	return heap.Pop(&h.inner).(T), true
}

// Peek returns the smallest item. It returns false if the heap is empty.
func (h *Heap[T]) Peek() (T, bool) {
	var zero T
	if len(h.inner.items) == 0 {
		return zero, false
	}
	return h.inner.items[0], true
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.inner.items) }

// sliceHeap implements heap.Interface for Heap.
type sliceHeap[T any] struct {
	items []T
	less  func(a, b T) bool
}

func (s *sliceHeap[T]) Len() int           { return len(s.items) }
func (s *sliceHeap[T]) Less(a, b int) bool { return s.less(s.items[a], s.items[b]) }
func (s *sliceHeap[T]) Swap(a, b int)      { s.items[a], s.items[b] = s.items[b], s.items[a] }
func (s *sliceHeap[T]) Push(item any)      { s.items = append(s.items, item.(T)) }
func (s *sliceHeap[T]) Pop() any {
	last := len(s.items) - 1
	item := s.items[last]
	var zero T
	s.items[last] = zero
	s.items = s.items[:last]
	return item
}

// Filter removes the items for which keep returns false, in linear time.
func (h *Heap[T]) Filter(keep func(T) bool) {
	h.inner.items = slices.DeleteFunc(h.inner.items, func(item T) bool { return !keep(item) })
	heap.Init(&h.inner)
}

// Items returns the items in no particular order. The caller must not change the
// slice.
func (h *Heap[T]) Items() []T { return h.inner.items }
