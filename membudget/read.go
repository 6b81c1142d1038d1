package membudget

import (
	"context"
	"io"
)

const (
	// minPieceBytes and maxPieceBytes are the sizes of the first and of the later pieces in
	// which a body is kept.
	minPieceBytes = 4 << 10
	maxPieceBytes = 64 << 10
)

// ReadPieces reads a body of a length, or of an unknown one if length is -1. Memory is
// reserved for one piece at a time, and a piece is never copied to a larger one. It returns
// the first piece and the further ones. The error is that of Grow or of the source.
func (r *Reservation) ReadPieces(ctx context.Context, source io.Reader, length int64) (first []byte, rest [][]byte, err error) {
	for total := int64(0); ; {
		size := min(max(total, minPieceBytes), maxPieceBytes)
		if length >= 0 {
			// One byte more lets the source report the end of the body.
			size = max(min(size, length-total+1), 1)
		}
		if err := r.Grow(ctx, size); err != nil {
			return nil, nil, err
		}
		piece := make([]byte, size)
		n, err := r.fill(piece, source)
		total += int64(n)
		switch {
		case first == nil:
			first = piece[:n]
		case n > 0:
			rest = append(rest, piece[:n])
		}
		if err == io.EOF {
			return first, rest, nil
		}
		if err != nil {
			return nil, nil, err
		}
	}
}

// fill reads until a piece is full or an error occurs.
func (r *Reservation) fill(piece []byte, source io.Reader) (int, error) {
	n := 0
	for n < len(piece) {
		k, err := source.Read(piece[n:])
		n += k
		r.Progress(k)
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
