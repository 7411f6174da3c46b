// Package proofs checks that docs/PROOFS.md names only tests that exist.
package proofs
