// Package proofs contains only a test: every test that docs/PROOFS.md names must exist.
package proofs
