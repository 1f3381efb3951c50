package ring_test

import (
	"context"
	"errors"
	"fmt"

	"dogwoodline.example/ring"
)

// A producer that finds the ring full decides what becomes of the item; here it
// refuses it.
func Example() {
	requests := ring.New[string](2)
	for _, item := range []string{"a", "b", "c"} {
		if err := requests.TryPush(item); err != nil {
			fmt.Println(item, "refused:", errors.Is(err, ring.ErrFull))
		}
	}
	requests.Close()
	for {
		item, err := requests.Pop(context.Background())
		if err != nil {
			break // closed and drained
		}
		fmt.Println("handled", item)
	}
	// Output:
	// c refused: true
	// handled a
	// handled b
}
