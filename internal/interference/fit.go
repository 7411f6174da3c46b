package interference

import (
	"gonum.org/v1/gonum/mat"
)

// fit is a least-squares fit of slopes, with forgetting and a prior.
type fit struct {
	index  map[string]int
	images []string
	square [][]float64 // sum of products of uses
	right  []float64   // sum of use times headroom taken
	dirty  bool
}

func newFit() *fit { return &fit{index: map[string]int{}} }

// column returns the column of an image, adding it if it is new.
func (f *fit) column(image string) int {
	i, ok := f.index[image]
	if ok {
		return i
	}
	i = len(f.images)
	f.index[image] = i
	f.images = append(f.images, image)
	f.right = append(f.right, 0)
	for r := range f.square {
		f.square[r] = append(f.square[r], 0)
	}
	f.square = append(f.square, make([]float64, len(f.images)))
	return i
}

// add takes in that a difference in use goes with a difference in headroom.
func (f *fit) add(use map[string]float64, taken float64) {
	row := make([]float64, len(f.images), len(f.images)+len(use))
	any := false
	for image, cores := range use {
		if cores == 0 {
			continue
		}
		i := f.column(image)
		for len(row) <= i {
			row = append(row, 0)
		}
		row[i] = cores
		any = true
	}
	if !any {
		return
	}
	f.dirty = true
	for i, x := range row {
		f.right[i] = f.right[i]*forget + x*taken
		for j, y := range row {
			f.square[i][j] = f.square[i][j]*forget + x*y
		}
	}
}

// solve returns the slopes that fit best; nil if nothing has changed.
func (f *fit) solve() map[string]float64 {
	n := len(f.images)
	if !f.dirty || n == 0 {
		return nil
	}
	f.dirty = false
	left := mat.NewSymDense(n, nil)
	right := mat.NewVecDense(n, nil)
	for i := range n {
		for j := i; j < n; j++ {
			left.SetSym(i, j, f.square[i][j])
		}
		left.SetSym(i, i, f.square[i][i]+priorWeight)
		right.SetVec(i, f.right[i]+priorWeight*unknownSlope)
	}
	var factors mat.Cholesky
	if !factors.Factorize(left) {
		return nil // the prior makes the matrix positive definite, unless figures overflow
	}
	var slopes mat.VecDense
	if err := factors.SolveVecTo(&slopes, right); err != nil {
		return nil // badly conditioned: the slopes known so far stay
	}
	out := make(map[string]float64, n)
	for i, image := range f.images {
		out[image] = slopes.AtVec(i)
	}
	return out
}
