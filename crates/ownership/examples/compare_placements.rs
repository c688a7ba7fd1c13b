//! Compares methods of placing destinations on forwarders, at the target size: one of three regions, with 150
//! forwarders in two zones and 100,000 destinations. Prints the tables of `docs/ownership.md`.
//!
//!     cargo run --release -p orchidyoke-ownership --example compare_placements

use orchidyoke_leases::placement::assign_leases;
use orchidyoke_leases::rendezvous::score;
use orchidyoke_ownership::{Member, OwnershipTable, Region, View};
use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::time::Instant;

const MEMBERS: usize = 150;
const DESTINATIONS: u64 = 100_000;
/// The number of points of each member on the ring of consistent hashing.
const RING_POINTS: u32 = 100;
/// The upper bounds of a member's load on that ring, each as a multiple of the mean load.
const LOAD_BOUNDS: [f64; 2] = [1.25, 1.1];
/// The number of slots into which destinations are hashed. Each slot is assigned to one member.
const SLOTS: u32 = 4096;

/// The members' numbers. Members with an odd number are in the second zone.
type Members = BTreeSet<usize>;
/// The number of each destination's owner.
type Owners = Vec<usize>;

fn name(member: usize) -> String {
    format!("f{member:03}")
}

/// Returns a fraction in (0, 1) that is a hash of a number and a salt.
fn uniform_fraction(key: u64, salt: &str) -> f64 {
    (-1.0 / score(&key.to_le_bytes(), salt, 1.0)).exp()
}

fn view(version: u64, members: &Members) -> View {
    let zones = ["z0", "z1"].map(str::to_owned).into_iter().collect();
    let region = Region { name: "r0".to_owned(), zones };
    let member = |number: &usize| Member {
        name: name(*number),
        region: "r0".to_owned(),
        zone: format!("z{}", number % 2),
        address: ([127, 0, 0, 1], 1000 + *number as u16).into(),
        weight: 1.0,
    };
    View::new(version, &region, members.iter().map(member).collect()).expect("the members are valid")
}

fn by_rendezvous(members: &Members, _before: Option<&Owners>) -> Owners {
    let view = view(1, members);
    let number = |member: &Member| member.address.port() as usize - 1000;
    (0..DESTINATIONS)
        .map(|destination| number(view.owner(destination).expect("a view with members has an owner")))
        .collect()
}

/// Assigns owners by consistent hashing with bounded loads, after Mirrokni, Thorup and Zadimoghaddam (2018). A
/// destination goes to the first member with free capacity, clockwise from the destination's point.
fn by_bounded_ring(members: &Members, bound: f64) -> Owners {
    let points = members.iter().flat_map(|member| {
        (0..RING_POINTS).map(|point| (uniform_fraction(u64::from(point), &name(*member)).to_bits(), *member))
    });
    let ring: BTreeMap<u64, usize> = points.collect();
    let capacity = (bound * DESTINATIONS as f64 / members.len() as f64).ceil() as usize;
    let mut load: BTreeMap<usize, usize> = BTreeMap::new();
    let mut owner_of = |destination: u64| {
        let from = uniform_fraction(destination, "destination").to_bits();
        let clockwise = ring.range(from..).chain(ring.range(..from)).map(|(_, member)| *member);
        let owner = clockwise.into_iter().find(|member| load.get(member).copied().unwrap_or(0) < capacity);
        let owner = owner.expect("the bounds leave capacity for all destinations");
        *load.entry(owner).or_default() += 1;
        owner
    };
    (0..DESTINATIONS).map(&mut owner_of).collect()
}

/// Assigns slots evenly, as one writer in Consul would. A member keeps the slots that it has.
fn by_slots(members: &Members, before: Option<&Owners>) -> Owners {
    let slot = |destination: u64| (uniform_fraction(destination, "slot") * f64::from(SLOTS)) as u32;
    let held = before.into_iter().flat_map(|owners| {
        owners.iter().enumerate().map(|(destination, owner)| (slot(destination as u64), name(*owner)))
    });
    let weights = members.iter().map(|member| (name(*member), 1.0)).collect();
    let placed = assign_leases(&weights, &(0..SLOTS).collect(), &held.collect());
    let number = |name: &str| name[1..].parse().expect("a member's name ends in its number");
    (0..DESTINATIONS).map(|destination| number(&placed[&slot(destination)])).collect()
}

fn count_moves(before: &Owners, after: &Owners) -> usize {
    before.iter().zip(after).filter(|(before, after)| before != after).count()
}

/// Returns the highest and the lowest load as multiples of the mean load, with a weight for each destination.
fn load_extremes(members: &Members, owners: &Owners, weight: impl Fn(u64) -> f64) -> (f64, f64) {
    let mut load: BTreeMap<usize, f64> = members.iter().map(|member| (*member, 0.0)).collect();
    for (destination, owner) in owners.iter().enumerate() {
        *load.entry(*owner).or_default() += weight(destination as u64);
    }
    let mean = load.values().sum::<f64>() / load.len() as f64;
    let extreme = |pick: fn(f64, f64) -> f64| load.values().copied().reduce(pick).unwrap_or(0.0) / mean;
    (extreme(f64::max), extreme(f64::min))
}

/// Returns the rank of each destination by traffic, which follows Zipf's law with exponent 1. The ranks come from
/// another hash than the placements, so that no method depends on them.
fn ranks() -> Vec<usize> {
    let mut order: Vec<u64> = (0..DESTINATIONS).collect();
    order.sort_by(|left, right| uniform_fraction(*left, "rank").total_cmp(&uniform_fraction(*right, "rank")));
    let mut ranks = vec![0; order.len()];
    for (place, destination) in order.into_iter().enumerate() {
        ranks[destination as usize] = place + 1;
    }
    ranks
}

fn compare_method(method: &str, owners: impl Fn(&Members, Option<&Owners>) -> Owners) {
    let all: Members = (0..MEMBERS).collect();
    let without_one: Members = all.iter().copied().filter(|member| *member != 77).collect();
    let one_zone: Members = all.iter().copied().filter(|member| member % 2 == 0).collect();
    let initial = owners(&all, None);
    let after_leave = owners(&without_one, Some(&initial));
    let after_return = owners(&all, Some(&after_leave));
    let after_zone_loss = owners(&one_zone, Some(&initial));
    let needless_moves =
        initial.iter().zip(&after_zone_loss).filter(|(from, to)| from != to && *from % 2 == 0).count();
    let (highest, lowest) = load_extremes(&all, &initial, |_| 1.0);
    let (zone_highest, _) = load_extremes(&one_zone, &after_zone_loss, |_| 1.0);
    let ranks = ranks();
    let (traffic, _) = load_extremes(&all, &initial, |destination| 1.0 / ranks[destination as usize] as f64);
    println!(
        "| {method} | {highest:.3} | {lowest:.3} | {} | {} | {} | {needless_moves} | {zone_highest:.3} | {traffic:.2} |",
        count_moves(&initial, &after_leave),
        count_moves(&after_leave, &after_return),
        count_moves(&initial, &after_zone_loss),
    );
}

/// Runs `work`. Returns the time that it took, in microseconds, and its result.
fn time_in_micros<T>(work: impl FnOnce() -> T) -> (f64, T) {
    let start = Instant::now();
    let result = black_box(work());
    (start.elapsed().as_secs_f64() * 1e6, result)
}

/// Prints the cost of lookups and updates in `orchidyoke-ownership` itself.
fn print_lookup_costs() {
    let all: Members = (0..MEMBERS).collect();
    let without_one: Members = all.iter().copied().filter(|member| *member != 77).collect();
    let (initial, rest) = (view(1, &all), view(2, &without_one));
    println!(
        "\n| destinations | a lookup in the view, ns | in the table, ns | table made, ms | one leaves, ms | one joins, ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for destinations in [667, 10_000, DESTINATIONS] {
        let (view_lookups, _) = time_in_micros(|| {
            (0..destinations).filter(|destination| black_box(initial.owner(*destination)).is_some()).count()
        });
        let (creation, mut table) = time_in_micros(|| OwnershipTable::new(initial.clone(), 0..destinations));
        let (table_lookups, _) = time_in_micros(|| {
            (0..destinations).filter(|destination| black_box(table.owner(*destination)).is_some()).count()
        });
        let (leave, _) =
            time_in_micros(|| table.replace_view(rest.clone()).expect("the view is newer").len());
        let (join, _) =
            time_in_micros(|| table.replace_view(view(3, &all)).expect("the view is newer").len());
        let ns_per_destination = |time: f64| 1e3 * time / destinations as f64;
        println!(
            "| {destinations} | {:.0} | {:.0} | {:.2} | {:.2} | {:.2} |",
            ns_per_destination(view_lookups),
            ns_per_destination(table_lookups),
            creation / 1e3,
            leave / 1e3,
            join / 1e3
        );
    }
}

/// Prints the size of Consul's answers to a read of all members, in bytes, and their rate while all forwarders of a
/// region are restarted.
fn print_registry_traffic() {
    let all: Members = (0..MEMBERS).collect();
    let entry_row = |member: &Member| {
        let value = "=".repeat(member.to_entry().len().div_ceil(3) * 4);
        let key = format!("orchidyoke/ownership/{}/members/{}", member.region, member.name);
        let session = "adf4238a-882b-9ddc-4a9d-5b6758e4159e";
        format!(
            r#"{{"LockIndex":1,"Key":"{key}","Flags":0,"Value":"{value}","Session":"{session}","CreateIndex":1234567,"ModifyIndex":2345678}},"#
        )
    };
    let entries: usize = view(1, &all).members().iter().map(|member| entry_row(member).len()).sum();
    let key_with_entry = |member: &Member| {
        format!(r#""orchidyoke/o/{};{};{};{}","#, member.name, member.zone, member.address, member.weight)
    };
    let keys: usize = view(1, &all).members().iter().map(|member| key_with_entry(member).len()).sum();
    println!(
        "\n| a read of {MEMBERS} members | bytes | of 6 KB/s, reads at most every 5 s | a read for each change, 300 changes in 10 min |"
    );
    println!("| --- | --- | --- | --- |");
    for (label, bytes) in [("rows with entries", entries), ("keys alone, the entry in the key", keys)] {
        let bytes = bytes + 250;
        let (coalesced, per_change) = (bytes as f64 / 5.0, bytes as f64 * 300.0 / 600.0);
        println!(
            "| {label} | {bytes} | {coalesced:.0} B/s ({:.0}%) | {per_change:.0} B/s |",
            coalesced / 60.0
        );
    }
}

fn main() {
    println!(
        "| way | most / mean | least / mean | moves, one leaves | moves, it is back | moves, a zone is lost | of them needless | most / mean then | most traffic / mean |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    compare_method("weighted rendezvous", by_rendezvous);
    for bound in LOAD_BOUNDS {
        let method = format!("consistent hashing, loads up to {bound}");
        compare_method(&method, |members, _| by_bounded_ring(members, bound));
    }
    compare_method(&format!("{SLOTS} assigned slots"), by_slots);
    print_lookup_costs();
    print_registry_traffic();
}
