// Package pool holds generic containers.
//
// # Usage
//
//	h := pool.NewHeap(func(a, b int) bool { return a < b })
//	h.Push(3)
//	least, ok := h.Pop()
package pool

import (
	"container/heap"
	"slices"
)

// Heap is a priority queue.
type Heap[T any] struct {
	inner inner[T]
}

// NewHeap returns an empty heap ordered by less.
func NewHeap[T any](less func(a, b T) bool) *Heap[T] {
	return &Heap[T]{inner: inner[T]{less: less}}
}

// Push adds an item.
func (h *Heap[T]) Push(item T) { heap.Push(&h.inner, item) }

// Pop removes the least item.
func (h *Heap[T]) Pop() (T, bool) {
	var zero T
	if len(h.inner.items) == 0 {
		return zero, false
	}
	return heap.Pop(&h.inner).(T), true
}

// Peek returns the least item.
func (h *Heap[T]) Peek() (T, bool) {
	var zero T
	if len(h.inner.items) == 0 {
		return zero, false
	}
	return h.inner.items[0], true
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.inner.items) }

type inner[T any] struct {
	items []T
	less  func(a, b T) bool
}

func (i *inner[T]) Len() int           { return len(i.items) }
func (i *inner[T]) Less(a, b int) bool { return i.less(i.items[a], i.items[b]) }
func (i *inner[T]) Swap(a, b int)      { i.items[a], i.items[b] = i.items[b], i.items[a] }
func (i *inner[T]) Push(item any)      { i.items = append(i.items, item.(T)) }
func (i *inner[T]) Pop() any {
	last := len(i.items) - 1
	item := i.items[last]
	var zero T
	i.items[last] = zero
	i.items = i.items[:last]
	return item
}

// Filter removes the items that keep refuses, in linear time.
func (h *Heap[T]) Filter(keep func(T) bool) {
	h.inner.items = slices.DeleteFunc(h.inner.items, func(item T) bool { return !keep(item) })
	heap.Init(&h.inner)
}

// Items returns the items in no order. The caller must not change the slice.
func (h *Heap[T]) Items() []T { return h.inner.items }
