package upstream

import (
	"slices"
	"testing"

	"endivespring/internal/memory"
	"endivespring/internal/verdict"
)

// FuzzAnswers reads an answer that is cut anywhere, after earlier responses on the
// connection that are written once more. It guards against a cut answer that is taken
// for a whole one, and against a refusal of another request that is taken for one of this.
func FuzzAnswers(f *testing.F) {
	header := "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": id\r\n"
	answers := []string{
		reply("id", "whole"), header + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\n" + reply("id", "whole"), reply("id", "", HeaderRan+": "+RanNo),
	}
	earlier := []string{"", reply("a", "", HeaderRan+": "+RanNo), reply("a", "other"), "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n" + HeaderRan + ": " + RanNo + "\r\n\r\n"}
	for kind := range answers {
		for before := range earlier {
			f.Add(uint8(kind), uint8(before), uint8(1), uint16(1<<15))
			f.Add(uint8(kind), uint8(before), uint8(0), uint16(20))
		}
	}
	f.Fuzz(func(t *testing.T, kind, before, repeats uint8, cut uint16) {
		answer := answers[int(kind)%len(answers)]
		text := ""
		if response := earlier[int(before)%len(earlier)]; response != "" {
			for range slices.Repeat([]bool{true}, int(repeats%4)) {
				text += response
			}
		}
		first := text == ""
		whole := int(cut) >= len(answer)
		text += answer[:min(int(cut), len(answer))]
		out := readAnswer(newConnection("u", newMemoryConnection(text), 0, memory.NewBudget(testBody)), NativeDialect{})
		refusal := int(kind)%len(answers) == len(answers)-1
		switch out.Answer.Verdict {
		case verdict.Ran:
			if !first || !whole || refusal || string(out.Answer.Body) != "whole" {
				t.Fatalf("%q gave the answer %q", text, out.Answer.Body)
			}
		case verdict.NotRun:
			if !first || !whole || !refusal {
				t.Fatalf("%q proved that the request did not run", text)
			}
		}
	})
}
