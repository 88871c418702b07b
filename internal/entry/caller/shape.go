package caller

import (
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
)

// answerHead holds the fields that all parts of an answer share.
type answerHead struct {
	id      fleet.RequestID
	model   fleet.ModelID
	created int64 // seconds since 1970
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newUsage(g pipeline.Generation, count int) usage {
	return usage{
		PromptTokens:     len(g.Prompt),
		CompletionTokens: count,
		TotalTokens:      len(g.Prompt) + count,
	}
}

// answerShape builds the JSON bodies of one API.
type answerShape interface {
	whole(h answerHead, text, reason string, u usage) any
	piece(h answerHead, text string, first bool) any
	end(h answerHead, reason string) any
	usage(h answerHead, u usage) any
}

type body struct {
	ID      fleet.RequestID `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   fleet.ModelID   `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   *usage          `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatContent `json:"message,omitempty"`
	Delta        *chatContent `json:"delta,omitempty"`
	Logprobs     any          `json:"logprobs"`
	FinishReason *string      `json:"finish_reason"`
}

type chatContent struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (h answerHead) body(object string, choices ...choice) body {
	if choices == nil {
		choices = []choice{}
	}
	return body{ID: h.id, Object: object, Created: h.created, Model: h.model, Choices: choices}
}

func (h answerHead) usageBody(object string, u usage) body {
	b := h.body(object)
	b.Usage = &u
	return b
}

// completionShape is the shape of /v1/completions.
type completionShape struct{}

const completionObject = "text_completion"

func (completionShape) whole(h answerHead, text, reason string, u usage) any {
	b := h.body(completionObject, choice{Text: &text, FinishReason: &reason})
	b.Usage = &u
	return b
}

func (completionShape) piece(h answerHead, text string, _ bool) any {
	return h.body(completionObject, choice{Text: &text})
}

func (completionShape) end(h answerHead, reason string) any {
	empty := ""
	return h.body(completionObject, choice{Text: &empty, FinishReason: &reason})
}

func (completionShape) usage(h answerHead, u usage) any {
	return h.usageBody(completionObject, u)
}

// chatShape is the shape of /v1/chat/completions.
type chatShape struct{}

const chatChunkObject = "chat.completion.chunk"

func (chatShape) whole(h answerHead, text, reason string, u usage) any {
	b := h.body("chat.completion", choice{
		Message:      &chatContent{Role: "assistant", Content: text},
		FinishReason: &reason,
	})
	b.Usage = &u
	return b
}

func (chatShape) piece(h answerHead, text string, first bool) any {
	delta := &chatContent{Content: text}
	if first {
		delta.Role = "assistant"
	}
	return h.body(chatChunkObject, choice{Delta: delta})
}

func (chatShape) end(h answerHead, reason string) any {
	return h.body(chatChunkObject, choice{Delta: &chatContent{}, FinishReason: &reason})
}

func (chatShape) usage(h answerHead, u usage) any {
	return h.usageBody(chatChunkObject, u)
}
