package stand

import (
	_ "embed" // for words.txt
	"strings"
)

// The platform's names of headers, paths and fields stand in words.txt, as package platform alone names them in its code.
//
//go:embed words.txt
var wordsFile string

var words = readWords()

func readWords() map[string]string {
	all := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(wordsFile), "\n") {
		name, word, _ := strings.Cut(line, " ")
		all[name] = word
	}
	return all
}

// Word returns the platform's word of a name in words.txt.
func Word(name string) string {
	word, known := words[name]
	if !known {
		panic("no word " + name)
	}
	return word
}
