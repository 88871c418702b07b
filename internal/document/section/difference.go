package section

import "strings"

const (
	// maxCells bounds the table of the exact difference, and with it the time
	// that a submission takes in the register.
	maxCells = 1 << 20
	// maxDifference bounds the difference in bytes.
	maxDifference = 16 << 10
)

// Difference lists the lines that differ between two texts, each with a leading
// + or -. Two texts that differ in very many lines are compared without regard
// to the order of their lines. A long list is cut and says so.
func Difference(old, next string) string {
	a, b := lines(old), lines(next)
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	var w writer
	if len(a) > 0 && len(b) > maxCells/len(a) {
		unordered(&w, a, b)
	} else {
		ordered(&w, a, b)
	}
	return w.String()
}

func lines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// ordered writes the difference along a longest common subsequence.
func ordered(w *writer, a, b []string) {
	width := len(b) + 1
	// common[i*width+j] is the length of the longest common subsequence of
	// a[i:] and b[j:].
	common := make([]int32, (len(a)+1)*width)
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i*width+j] = common[(i+1)*width+j+1] + 1
				continue
			}
			common[i*width+j] = max(common[(i+1)*width+j], common[i*width+j+1])
		}
	}
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && common[(i+1)*width+j] >= common[i*width+j+1]:
			w.line('-', a[i])
			i++
		default:
			w.line('+', b[j])
			j++
		}
	}
}

func unordered(w *writer, a, b []string) {
	extra := make(map[string]int)
	for _, l := range b {
		extra[l]++
	}
	for _, l := range a {
		if extra[l] > 0 {
			extra[l]--
			continue
		}
		w.line('-', l)
	}
	clear(extra)
	for _, l := range a {
		extra[l]++
	}
	for _, l := range b {
		if extra[l] > 0 {
			extra[l]--
			continue
		}
		w.line('+', l)
	}
}

type writer struct {
	strings.Builder
	full bool
}

func (w *writer) line(sign byte, l string) {
	if w.full {
		return
	}
	if w.Len()+len(l)+2 > maxDifference {
		w.full = true
		w.WriteString("(cut)\n")
		return
	}
	w.WriteByte(sign)
	w.WriteString(l)
	w.WriteByte('\n')
}
