package section

import "strings"

const (
	// maxLCSCells limits the table of the longest common subsequence (LCS), and
	// with it the time that the register spends on a submission.
	maxLCSCells = 1 << 20
	// maxDiffBytes limits the listed lines of a diff.
	maxDiffBytes = 16 << 10
)

// Diff lists the lines that differ between two texts, each with a leading + or -.
// Texts whose LCS table would exceed maxLCSCells are compared without regard to
// the order of their lines. A list that exceeds maxDiffBytes is truncated and
// ends with the line (cut).
func Diff(old, updated string) string {
	a, b := splitLines(old), splitLines(updated)
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	var w diffWriter
	if len(a) > 0 && len(b) > maxLCSCells/len(a) {
		writeUnorderedDiff(&w, a, b)
	} else {
		writeOrderedDiff(&w, a, b)
	}
	return w.String()
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// writeOrderedDiff writes the diff along a longest common subsequence.
func writeOrderedDiff(w *diffWriter, a, b []string) {
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
			w.writeLine('-', a[i])
			i++
		default:
			w.writeLine('+', b[j])
			j++
		}
	}
}

// writeUnorderedDiff compares the lines as multisets: it writes the removed lines
// and then the added ones.
func writeUnorderedDiff(w *diffWriter, a, b []string) {
	unmatched := make(map[string]int)
	for _, l := range b {
		unmatched[l]++
	}
	for _, l := range a {
		if unmatched[l] > 0 {
			unmatched[l]--
			continue
		}
		w.writeLine('-', l)
	}
	clear(unmatched)
	for _, l := range a {
		unmatched[l]++
	}
	for _, l := range b {
		if unmatched[l] > 0 {
			unmatched[l]--
			continue
		}
		w.writeLine('+', l)
	}
}

// diffWriter collects a diff of up to maxDiffBytes.
type diffWriter struct {
	strings.Builder
	truncated bool
}

func (w *diffWriter) writeLine(sign byte, l string) {
	if w.truncated {
		return
	}
	if w.Len()+len(l)+2 > maxDiffBytes {
		w.truncated = true
		w.WriteString("(cut)\n")
		return
	}
	w.WriteByte(sign)
	w.WriteString(l)
	w.WriteByte('\n')
}
