package merlinctl

import (
	"encoding/json"
	"fmt"
	"strings"
)

// contextLines is the number of equal lines shown before and after a changed one.
const contextLines = 2

// canonicalJSON returns value as indented JSON with sorted keys, so that equal
// objects have equal text.
func canonicalJSON(value any) (string, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return "", fmt.Errorf("encode for comparison: %w", err)
	}
	var plain any
	if err := json.Unmarshal(encoded, &plain); err != nil {
		return "", fmt.Errorf("decode for comparison: %w", err)
	}
	indented, err := json.MarshalIndent(plain, "", "  ")
	if err != nil {
		return "", fmt.Errorf("encode for comparison: %w", err)
	}
	return string(indented), nil
}

// diffLine is one line of a comparison; sign is ' ', '-' or '+'.
type diffLine struct {
	sign byte
	text string
}

// lineDifference compares two texts line by line. It returns the changed lines with contextLines of
// context, "..." for skipped lines before them, and empty text when the texts are equal.
func lineDifference(before, after string) string {
	if before == after {
		return ""
	}
	lines := compareLines(splitLines(before), splitLines(after))
	var output strings.Builder
	skipped := false
	for index, line := range lines {
		if !isNearChange(lines, index) {
			skipped = true
			continue
		}
		if skipped {
			output.WriteString("  ...\n")
			skipped = false
		}
		fmt.Fprintf(&output, "%c %s\n", line.sign, line.text)
	}
	return output.String()
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// isNearChange reports whether a line is changed or is within contextLines of a changed one.
func isNearChange(lines []diffLine, index int) bool {
	for neighbor := max(0, index-contextLines); neighbor <= min(len(lines)-1, index+contextLines); neighbor++ {
		if lines[neighbor].sign != ' ' {
			return true
		}
	}
	return false
}

// compareLines merges both texts by their longest common subsequence of lines.
func compareLines(before, after []string) []diffLine {
	common := commonLengths(before, after)
	var lines []diffLine
	left, right := 0, 0
	for left < len(before) || right < len(after) {
		switch {
		case left < len(before) && right < len(after) && before[left] == after[right]:
			lines = append(lines, diffLine{' ', before[left]})
			left++
			right++
		case right == len(after) || left < len(before) && common[left+1][right] >= common[left][right+1]:
			lines = append(lines, diffLine{'-', before[left]})
			left++
		default:
			lines = append(lines, diffLine{'+', after[right]})
			right++
		}
	}
	return lines
}

// commonLengths returns a table: entry [left][right] is the length of the longest common subsequence
// of before[left:] and after[right:].
func commonLengths(before, after []string) [][]int {
	lengths := make([][]int, len(before)+1)
	for index := range lengths {
		lengths[index] = make([]int, len(after)+1)
	}
	for left := len(before) - 1; left >= 0; left-- {
		for right := len(after) - 1; right >= 0; right-- {
			if before[left] == after[right] {
				lengths[left][right] = lengths[left+1][right+1] + 1
				continue
			}
			lengths[left][right] = max(lengths[left+1][right], lengths[left][right+1])
		}
	}
	return lengths
}
